"""Many routers' decision modules before modelled cache servers, on a simulated clock."""

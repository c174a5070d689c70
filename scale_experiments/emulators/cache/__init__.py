"""Page caches and the origin behind them, as one process."""

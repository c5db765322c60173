"""Developer tools: demos, benchmarks, ablation and a test plugin."""

"""What is known of engines, services and the models they run."""

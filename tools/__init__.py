"""Commands of the repository: demo, measurements and the test verdict."""

"""Scripts around the package: the CI verdict and the demonstration."""

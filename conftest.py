"""Puts the checkout on the path, so that plain ``pytest`` finds the package."""

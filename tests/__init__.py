"""Scenarios of several controllers, and the tests of the project as a whole."""

"""Command line of jasperweir."""

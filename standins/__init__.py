"""Small stand-ins for what jasperweir meets; never part of the product."""

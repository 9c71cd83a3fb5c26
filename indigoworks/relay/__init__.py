"""Follows the row store through one relay gateway per zone, where there are many gateways."""

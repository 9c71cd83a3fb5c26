"""Parts shared by the router and the controller."""

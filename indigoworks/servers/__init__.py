"""The servers (back ends) that the platform lists, as every gateway follows them."""

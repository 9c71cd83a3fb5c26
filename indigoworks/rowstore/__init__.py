"""Port to a store of versioned rows: conditional transactions and a feed of changes."""

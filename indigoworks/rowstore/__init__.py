"""Port to a store of versioned rows with conditional transactions and a change feed."""

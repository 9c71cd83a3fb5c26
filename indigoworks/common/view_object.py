"""Name of the stored object with a recent view of a group, which starting routers read."""


def view_object_name(group_id: int) -> str:
    """Return the name of the object; its content is a ViewReply with a snapshot."""
    return f"groups/{group_id}/view"

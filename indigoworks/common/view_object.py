"""The object that holds a recent view of a group, for routers that start."""


def view_object_name(group_id: int) -> str:
    """Return the name of the object; its content is a ViewReply with a snapshot."""
    return f"groups/{group_id}/view"

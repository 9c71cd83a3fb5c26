"""A YAML loader that refuses aliases and duplicate keys."""

from typing import Any

import yaml
from yaml.constructor import ConstructorError
from yaml.events import AliasEvent
from yaml.nodes import MappingNode, Node, ScalarNode


class UniqueKeyLoader(yaml.SafeLoader):
    """SafeLoader without duplicate keys or aliases, which can expand small documents endlessly."""

    def compose_node(self, parent: Node | None, index: int) -> Node | None:
        """Refuse an alias; compose any other node."""
        if self.check_event(AliasEvent):
            event = self.peek_event()  # type: ignore[no-untyped-call]
            raise ConstructorError(
                None, None, "aliases are not allowed; set the field at a level", event.start_mark
            )
        return super().compose_node(parent, index)

    def construct_mapping(self, node: MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Refuse a mapping that contains a key twice; construct any other."""
        seen: set[str] = set()
        for key_node, _ in node.value:
            if not isinstance(key_node, ScalarNode):
                continue
            if key_node.value in seen:
                fault = f"field {key_node.value!r} occurs twice in one mapping"
                raise ConstructorError(None, None, fault, key_node.start_mark)
            seen.add(key_node.value)
        return super().construct_mapping(node, deep)

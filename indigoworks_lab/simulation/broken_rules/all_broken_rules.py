"""Every broken rule, by name."""

from indigoworks_lab.simulation.broken_rules.backend_rules import BACKEND_RULES
from indigoworks_lab.simulation.broken_rules.broken_rule import BrokenRule
from indigoworks_lab.simulation.broken_rules.control_log_rules import CONTROL_LOG_RULES
from indigoworks_lab.simulation.broken_rules.controller_rules import CONTROLLER_RULES
from indigoworks_lab.simulation.broken_rules.router_rules import ROUTER_RULES

_RULES = (*BACKEND_RULES, *CONTROL_LOG_RULES, *CONTROLLER_RULES, *ROUTER_RULES)

BROKEN_RULES: dict[str, BrokenRule] = {rule.name: rule for rule in _RULES}

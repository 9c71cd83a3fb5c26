"""Zones and services of a small part of the Amman sample; their settings are in its tree."""

from indigoworks_lab.launcher.service_plan import ServicePlan

ZONES = ("amman-a", "amman-b", "amman-c")

CATALOGUE = "catalogue"
SCHEDULER = "scheduler"
CHECKOUT = "checkout"

SERVICES = (
    ServicePlan(CATALOGUE, servers=4, slots=2, connections=100),
    ServicePlan(SCHEDULER, servers=3, slots=2, connections=100),
    ServicePlan(CHECKOUT, servers=3, slots=2, connections=100),
)

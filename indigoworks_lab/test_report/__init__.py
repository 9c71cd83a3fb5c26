"""Counting of checks and scenarios, and the verdict of scripts/test."""

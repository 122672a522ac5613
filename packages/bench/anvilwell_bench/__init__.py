"""Auditor, load tool, virtual-time measurements and slopes."""

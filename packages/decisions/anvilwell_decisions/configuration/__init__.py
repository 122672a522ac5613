"""Agreement on service documents: all instances prepare, then one write."""

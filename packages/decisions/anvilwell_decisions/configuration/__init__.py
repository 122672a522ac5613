"""Agreement on service documents: prepare everywhere, then one write."""

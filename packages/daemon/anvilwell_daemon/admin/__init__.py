"""The operators' HTTP interface of an entry."""

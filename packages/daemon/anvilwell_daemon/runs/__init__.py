"""The service ``runs``: trainers' steps and samples."""

"""The process beside a backend server: admission and execution."""

"""What operators declare: routes, services, limits and customers."""

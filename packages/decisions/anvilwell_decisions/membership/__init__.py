"""Who is there: neighbour graph, failure detection, spread of news."""

"""Router daemon for language-model traffic and plain services."""

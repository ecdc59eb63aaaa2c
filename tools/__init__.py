"""What makes the shipped file and the generated parts of the pages."""

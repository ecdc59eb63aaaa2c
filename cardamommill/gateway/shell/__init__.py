"""The node itself: input, output, and what joins the decisions."""

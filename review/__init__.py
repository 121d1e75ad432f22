"""An independent review: cases, and the stand-ins that their scripts start."""

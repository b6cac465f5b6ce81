"""Keys of the configuration table and limits of its deltas."""

KEY_HEAD = "head"
KEY_ROLL = "roll"
KEY_VIEW = "view"
KEY_DECLARED = "declared"
KEY_DEPARTED = "departed"
PREFIX_PLACE = "place/"
PREFIX_BUNDLE = "bundle/"
PREFIX_VERSION = "version/"
PREFIX_GROUP = "group/"
PREFIX_EVACUATION = "evacuation/"

DELTA_MAX_BYTES = 192 * 1024

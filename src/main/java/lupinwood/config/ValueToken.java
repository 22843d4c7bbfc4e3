package lupinwood.config;

/**
 * A value as it stands in a text.
 *
 * @param kind how it was written
 * @param text what it says: a string without its quotes and with its escapes undone, all else as it
 *     stands
 * @param note the type annotation before it, without its parentheses; empty where there is none
 * @param sound whether it can be used; if not, that was reported
 */
record ValueToken(Kind kind, String text, String note, SourcePosition place, boolean sound) {
    enum Kind {
        BARE,
        QUOTED,
        NUMBER,
        KEYWORD
    }
}

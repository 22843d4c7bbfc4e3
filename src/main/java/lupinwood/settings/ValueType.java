package lupinwood.settings;

/** What an entry's value stands for, and so how it is written and compared. */
public enum ValueType {
    /** A length of time, kept in nanoseconds. */
    DURATION("a time with its unit, as 250ms or 2.7s"),
    /** A length of time, kept in milliseconds. */
    DURATION_MILLIS("a time with its unit, as 250ms or 2.7s"),
    /** A part of one, kept as a fraction. */
    SHARE("a share in percent, as 30%"),
    /** So many a second. */
    RATE("a rate with its unit, as 30/s"),
    /** Memory, kept in kilobytes of 1,000 bytes. */
    MEMORY_KB("an amount of memory with its unit, as 100KB or 192MB"),
    /** Memory, kept in megabytes of 1,000,000 bytes. */
    MEMORY_MB("an amount of memory with its unit, as 100KB or 192MB"),
    /** A whole number. */
    COUNT("a whole number, as 2"),
    /** Any number. */
    NUMBER("a number, as 2 or 0.5"),
    /** One of the words that the entry lists. */
    WORD("one of the words listed for it"),
    /** Yes or no. */
    FLAG("#true or #false"),
    /** A host and a port. */
    ADDRESS("a host and a port, as \"127.0.0.1:5050\""),
    /** Any text that isn't empty. */
    TEXT("a name or a text in quotes"),
    /** A hexadecimal number of 64 bits at most. */
    HEX("a hexadecimal number in quotes, as \"1d2c3b4a59687706\""),
    /** Words, in their order, joined by commas where kept. */
    WORDS("one or more names");

    private final String wanted;

    ValueType(String wanted) {
        this.wanted = wanted;
    }

    /** What is to be written for it. */
    public String wanted() {
        return wanted;
    }

    public boolean isNumber() {
        return switch (this) {
            case DURATION, DURATION_MILLIS, SHARE, RATE, MEMORY_KB, MEMORY_MB, COUNT, NUMBER ->
                    true;
            default -> false;
        };
    }
}

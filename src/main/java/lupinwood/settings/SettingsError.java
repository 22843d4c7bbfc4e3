package lupinwood.settings;

/**
 * What is wrong with an entry, or between entries.
 *
 * @param name the entry that is best changed, as {@link ParsedSettings} names it; empty for the
 *     whole
 * @param text what is wrong, in one line
 * @param instead what to write instead, in one line; empty where that can't be known
 * @param certain whether no node could serve with it; what is merely unlikely to be meant is not
 *     certain
 */
public record SettingsError(String name, String text, String instead, boolean certain) {}

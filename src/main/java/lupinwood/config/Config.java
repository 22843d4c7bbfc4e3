package lupinwood.config;

import java.util.List;
import java.util.Map;
import lupinwood.settings.ParsedSettings;

/**
 * A configuration as read from its texts.
 *
 * @param parsedSettings what it says; only to be gone by where there is no problem
 * @param places where each value was given, by the name of its entry
 * @param sources all texts, the first one first
 */
public record Config(
        ParsedSettings parsedSettings,
        Map<String, SourcePosition> places,
        Diagnostics diagnostics,
        List<Source> sources) {
    /** The text in which something stands, or null. */
    public Source source(SourcePosition place) {
        return sources.stream()
                .filter(source -> source.name().equals(place.file()))
                .findFirst()
                .orElse(null);
    }
}

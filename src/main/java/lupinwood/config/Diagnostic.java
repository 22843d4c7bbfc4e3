package lupinwood.config;

/**
 * One mistake in a configuration.
 *
 * @param text what is wrong, one line
 * @param instead what to write instead, one line; empty where that can't be known
 */
public record Diagnostic(SourcePosition place, String text, String instead) {}

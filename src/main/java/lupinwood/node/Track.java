package lupinwood.node;

/**
 * What the settings say of a track.
 *
 * @param calls its tickets may call below
 * @param agreedStretch the agreed time grows by this multiple of a ticket's own work
 * @param effect where it isn't told, what is never run twice
 * @param window how long a receipted ticket may come again; until its caller gives up, where it
 *     isn't told
 * @param lateValue the part of the credit that an answer after the agreed time earns
 * @param skipWorth the part of the credit that an answer without its call earns
 */
public record Track(
        boolean calls,
        Effect effect,
        Span agreed,
        double agreedStretch,
        Span abandon,
        Span window,
        double credit,
        double lateValue,
        double skipWorth) {

    public static Track read(Settings settings, int place) {
        String at = "services." + place + ".";
        String skip = settings.item("domain.class_skip_worth", place);
        Effect effect =
                switch (settings.text(at + "effect")) {
                    case "pure" -> Effect.PURE;
                    case "token" -> Effect.RECEIPTED;
                    default -> Effect.EFFECTFUL;
                };
        Span abandon = settings.span(at + "give_up_ns");
        // Who may repeat a ticket gives it up by then, over all its tries.
        Span window =
                settings.text(at + "window_ns").isEmpty()
                        ? abandon
                        : settings.span(at + "window_ns");
        boolean below = !settings.is("domain.below", "off") && !settings.is("domain.below", "");
        return new Track(
                below && settings.item("domain.class_calls", place).equals("true"),
                effect,
                settings.span(at + "aim_ns"),
                settings.number(at + "aim_stretch", 0),
                abandon,
                window,
                settings.number(at + "worth", 1),
                settings.number(at + "late_value", 0),
                skip.isEmpty() ? 0 : Double.parseDouble(skip));
    }
}

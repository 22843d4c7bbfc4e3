package lupinwood.admission;

/**
 * What the settings say of a request class.
 *
 * @param calls its requests may call below
 * @param objectiveStretch the latency objective grows by this multiple of a request's own work
 * @param idempotency where it isn't told, what is never run twice
 * @param window how long an idempotent request may come again; until its caller gives up, where it
 *     isn't told
 * @param lateValue the part of the credit that an answer after the latency objective earns
 * @param skippedCallValue the part of the credit that an answer without its call earns
 */
public record RequestClass(
        boolean calls,
        Idempotency idempotency,
        NanoDuration latencyObjective,
        double objectiveStretch,
        NanoDuration timeout,
        NanoDuration window,
        double priorityWeight,
        double lateValue,
        double skippedCallValue) {

    public static RequestClass read(SettingsMap settings, int place) {
        String at = "services." + place + ".";
        String skip = settings.item("domain.class_skip_worth", place);
        Idempotency idempotency =
                switch (settings.text(at + "effect")) {
                    case "pure" -> Idempotency.SAFE;
                    case "token" -> Idempotency.IDEMPOTENT;
                    default -> Idempotency.UNSAFE;
                };
        NanoDuration timeout = settings.duration(at + "give_up_ns");
        // Who may repeat a request gives it up by then, over all its tries.
        NanoDuration window =
                settings.text(at + "window_ns").isEmpty()
                        ? timeout
                        : settings.duration(at + "window_ns");
        boolean downstream =
                !settings.is("domain.below", "off") && !settings.is("domain.below", "");
        return new RequestClass(
                downstream && settings.item("domain.class_calls", place).equals("true"),
                idempotency,
                settings.duration(at + "aim_ns"),
                settings.number(at + "aim_stretch", 0),
                timeout,
                window,
                settings.number(at + "worth", 1),
                settings.number(at + "late_value", 0),
                skip.isEmpty() ? 0 : Double.parseDouble(skip));
    }
}

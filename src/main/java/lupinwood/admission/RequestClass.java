package lupinwood.admission;

/**
 * What the settings say of a request class.
 *
 * @param calls its requests may call downstream
 * @param objectiveStretch the latency objective grows by this multiple of a request's own work
 * @param idempotency unsafe where it isn't told
 * @param window how long an idempotent request may come again; until its caller gives up, where it
 *     isn't told
 * @param lateValue the part of the priority weight that an answer after the latency objective earns
 * @param skippedCallValue the part of the priority weight that an answer without its downstream
 *     call earns
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
        double skippedCallValue) {}

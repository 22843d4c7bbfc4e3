package lupinwood.admission;

/**
 * The settings of a request class.
 *
 * @param calls whether its requests may call downstream
 * @param latencyObjective the time from arrival within which a request should be served
 * @param objectiveStretch the multiple of a request's own work that is added to the objective
 * @param idempotency unsafe where the settings don't declare it
 * @param timeout the time from arrival after which its clients give up
 * @param window the time within which an idempotent request may be retried; its timeout where the
 *     settings give none
 * @param priorityWeight the value of serving one request in time
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

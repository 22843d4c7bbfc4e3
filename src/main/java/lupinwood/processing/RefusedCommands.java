package lupinwood.processing;

import java.util.function.Supplier;

/**
 * Handles commands that the executor refused.
 *
 * <p>Owned by the event loop thread.
 */
final class RefusedCommands {
    /** Stands for the name of a command that the executor doesn't know. */
    private static final String UNNAMED = "-";

    private final RequestTable requests;
    private final ConnectionTable connections;
    private final ExecutorSession session;
    private final RunCompletions runs;
    private final PolicyRunner policyRunner;
    private final Supplier<RequestValidator> validator;

    /**
     * Creates the handler of one executor's refusals.
     *
     * @param validator supplies the current validator, which knows which requests may run twice
     */
    RefusedCommands(
            RequestTable requests,
            ConnectionTable connections,
            ExecutorSession session,
            RunCompletions runs,
            PolicyRunner policyRunner,
            Supplier<RequestValidator> validator) {
        this.requests = requests;
        this.connections = connections;
        this.session = session;
        this.runs = runs;
        this.policyRunner = policyRunner;
        this.validator = validator;
    }

    /**
     * Handles the refusal of a command about this attempt. A refused run is over. After the first
     * refusal to stop a run, the executor is never asked to stop one again. The same holds for
     * skipping calls, but a refusal that matches no run with an unconfirmed skip is ignored, for
     * example after the request was released. Refusals of other commands are ignored.
     *
     * @param command its name in the executor protocol
     */
    void onRefused(String command, AttemptId id) {
        ActiveRequest activeRequest = requests.find(id);
        switch (command) {
            case "EXEC" -> {
                if (activeRequest != null) {
                    runs.completeUnreported(id, Completion.NOT_CARRIED_OUT);
                    connections.onInvalidRequest(activeRequest.connection);
                }
            }
            case "KILL" ->
                    session.disableStop(); // the run continues to its end, as without the command
            // A refusal that names neither command nor attempt can only be about runs that were
            // told to skip their call.
            case "BYPASS", UNNAMED ->
                    session.skippingCalls().stream()
                            .filter(
                                    skipping ->
                                            skipping == activeRequest || command.equals(UNNAMED))
                            .forEach(this::onSkipRefused);
            default -> {}
        }
    }

    /**
     * Handles a refusal to skip a call: the run still waits for the call. If the request is safe,
     * the admission policy is told again that the call is needed, unless the request is already
     * answered. Any other request fails.
     */
    private void onSkipRefused(ActiveRequest activeRequest) {
        if (session.disableSkippingCalls()) {
            policyRunner.refreshSettings();
        }
        activeRequest.unconfirmedReply = null;
        if (!validator.get().isSafe(activeRequest.incomingRequest)) {
            runs.completeUnreported(activeRequest.incomingRequest.attemptId(), Completion.FAILED);
        } else if (!activeRequest.answered) {
            activeRequest.listener.onCallNeeded();
        }
    }
}

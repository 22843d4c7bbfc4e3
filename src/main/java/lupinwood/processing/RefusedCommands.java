package lupinwood.processing;

import java.util.function.Supplier;

/**
 * What follows where the executor would not carry out a command.
 *
 * <p>Owned by the event loop thread.
 */
final class RefusedCommands {
    /** In place of a command's name: it was one that the executor doesn't know. */
    private static final String UNNAMED = "-";

    private final RequestTable requests;
    private final ConnectionTable connections;
    private final ExecutorSession session;
    private final RunCompletions runs;
    private final PolicyRunner policyRunner;
    private final Supplier<RequestValidator> validator;

    /**
     * The refusals of one executor.
     *
     * @param validator the one in force, which tells what may run twice
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
     * The executor refused a command about this attempt. A run that was refused is over. Stopping
     * runs and skipping calls are given up for good at the first refusal. Other commands matter
     * not.
     *
     * @param command its name on the executor's link
     */
    void refused(String command, AttemptId id) {
        ActiveRequest activeRequest = requests.find(id);
        switch (command) {
            case "EXEC" -> {
                if (activeRequest != null) {
                    runs.lost(id, Completion.NOT_CARRIED_OUT);
                    connections.fault(activeRequest.connection);
                }
            }
            case "KILL" -> session.disableStop(); // the run goes on to its end, as it would have
            // Where the answer names neither, it can be only to those whose call was to be left
            // out.
            case "BYPASS", UNNAMED ->
                    session.skippingCalls().stream()
                            .filter(one -> one == activeRequest || command.equals(UNNAMED))
                            .forEach(this::skipRefused);
            default -> {}
        }
    }

    /**
     * No call can be left out here: its run still waits for one, which is made now where that does
     * no harm.
     */
    private void skipRefused(ActiveRequest activeRequest) {
        if (session.disableSkippingCalls()) {
            policyRunner.refreshSettings();
        }
        activeRequest.unreadReply = null;
        if (!validator.get().isSafe(activeRequest.incomingRequest)) {
            runs.lost(activeRequest.incomingRequest.attemptId(), Completion.FAILED);
        } else if (!activeRequest.answered) {
            activeRequest.listener.onCallNeeded();
        }
    }
}

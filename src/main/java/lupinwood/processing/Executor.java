package lupinwood.processing;

/**
 * The commands that the request processor sends to the executor, from the event loop thread.
 * Nothing is sent while there is no connection to it.
 */
public interface Executor {
    /** Starts a run. Returns false without a connection; then nothing can have started. */
    boolean run(AttemptId id, String className, byte[] body);

    /** Sends a run the reply to the call that it waits for; false without a connection. */
    boolean giveReply(AttemptId id, byte[] reply);

    /** Stops a run. Returns false without a connection; then the run continues to its end. */
    boolean stop(AttemptId id);

    /** Lets a run continue without the call that it waits for; false without a connection. */
    boolean skipCall(AttemptId id);

    /**
     * Whether runs of a request class use the executor connection, so that losing it puts their
     * commands in doubt. Runs at servers don't use it: each of them reports its own completion.
     */
    default boolean usesExecutorConnection(String className) {
        return true;
    }

    /**
     * Asks for resource usage. It arrives with this tag, after all messages that the executor sent
     * before.
     */
    void askResourceUsage(long queryTag);

    /** Starts the work of a deep health check; its result is reported with this tag. */
    void checkDeep(long queryTag);
}

package lupinwood.processing;

/**
 * What the request processor asks of the executor, from the event loop thread. Nothing is sent
 * while there is no link.
 */
public interface Executor {
    /** Start a run; false where there is no link to ask on, and so nothing can have started. */
    boolean run(AttemptId id, String className, byte[] body);

    /** Hand a run the reply to the call that it waits for; false where there is no link. */
    boolean giveReply(AttemptId id, byte[] reply);

    /** Stop a run; false where there is no link, and so it goes on to its end. */
    boolean stop(AttemptId id);

    /** Let a run go on without the call that it waits for; false where there is no link. */
    boolean skipCall(AttemptId id);

    /**
     * Whether a request class's runs are on the link, so that its loss puts their commands in
     * doubt. Runs elsewhere end by themselves, each with its own ending.
     */
    default boolean isOnLink(String className) {
        return true;
    }

    /** Ask for resource usage, which comes with this tag after all notices before. */
    void askResourceUsage(long tag);

    /** Do the work of a deep health check. */
    void checkDeep(long tag);
}

package lupinwood.processing;

/**
 * What a run that waits for a call is told: the reply, or that it shall continue without the call.
 *
 * <p>Owned by the event loop thread.
 */
final class CallReply {
    /** The reply as received; null if the call is skipped. */
    private final byte[] body;

    final CommandDelivery delivery = new CommandDelivery();

    private CallReply(byte[] body) {
        this.body = body;
    }

    /** A reply that the dependency gave. */
    static CallReply of(byte[] body) {
        return new CallReply(body);
    }

    /** Tells the run to continue without its call. */
    static CallReply skip() {
        return new CallReply(null);
    }

    boolean skipsCall() {
        return body == null;
    }

    /** Writes it to the executor; false without a connection. */
    boolean writeTo(Executor executor, AttemptId id) {
        return skipsCall() ? executor.skipCall(id) : executor.giveReply(id, body);
    }
}

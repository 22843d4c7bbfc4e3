package lupinwood.ajp;

/**
 * What came in can't be AJP, or is beyond what this side takes; its connection can't be read any
 * further.
 */
public final class BadPacket extends Exception {
    private static final long serialVersionUID = 1L;

    BadPacket(String message) {
        super(message);
    }
}

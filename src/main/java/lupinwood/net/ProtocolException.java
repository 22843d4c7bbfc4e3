package lupinwood.net;

/** What came in can't be read as what it should be; only its connection ends. */
final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super(message);
    }
}

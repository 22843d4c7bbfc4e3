package lupinwood.simulator;

import java.io.IOException;

/** What came in can't be a frame of the wire. */
public final class MalformedFrame extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedFrame(String message) {
        super(message);
    }
}

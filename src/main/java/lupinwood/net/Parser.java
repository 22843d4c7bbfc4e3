package lupinwood.net;

import java.nio.ByteBuffer;

/** Makes messages of bytes, however these are split. */
interface Parser<T> {
    /** The next whole message, or null where more bytes are needed. */
    T next(ByteBuffer in) throws ProtocolException;
}

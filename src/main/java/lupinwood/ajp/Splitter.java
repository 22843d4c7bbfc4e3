package lupinwood.ajp;

import java.nio.ByteBuffer;

/**
 * Cuts a stream into packets, however it comes. No more is kept than one packet, whose length is
 * checked first.
 */
final class Splitter {
    private static final int HEAD = 4;

    private final int magic;
    private final int most;
    private final byte[] head = new byte[HEAD];
    private int headRead;
    private byte[] payload;
    private int read;

    /**
     * @param most bytes of a packet, its head included
     */
    Splitter(int magic, int most) {
        this.magic = magic;
        this.most = most - HEAD;
    }

    /** The next packet without its head, or null where more bytes are needed. */
    byte[] next(ByteBuffer in) throws BadPacket {
        while (headRead < HEAD && in.hasRemaining()) {
            head[headRead++] = in.get();
            if (headRead == 2 && ((head[0] & 0xFF) << 8 | (head[1] & 0xFF)) != magic) {
                throw new BadPacket("no packet begins with these bytes");
            }
        }
        if (headRead < HEAD) {
            return null;
        }
        if (payload == null) {
            int length = (head[2] & 0xFF) << 8 | (head[3] & 0xFF);
            if (length > most) {
                throw new BadPacket(
                        "a packet of " + length + " bytes is beyond the " + most + " agreed");
            }
            payload = new byte[length];
            read = 0;
        }
        int take = Math.min(in.remaining(), payload.length - read);
        in.get(payload, read, take);
        read += take;
        if (read < payload.length) {
            return null;
        }
        byte[] whole = payload;
        payload = null;
        headRead = 0;
        return whole;
    }

    /** The memory that the packet takes that is not whole yet, in bytes. */
    int heldBytes() {
        return payload == null ? 0 : payload.length;
    }

    boolean isMidway() {
        return headRead > 0;
    }
}

package lupinwood.ajp;

import java.nio.charset.StandardCharsets;

/** Reads the fields of one packet; each is checked against what is left of it. */
final class Fields {
    private static final int ABSENT = 0xFFFF;

    private final byte[] packet;
    private int at;

    Fields(byte[] packet) {
        this.packet = packet;
    }

    boolean isOver() {
        return at >= packet.length;
    }

    int one() throws BadPacket {
        if (at >= packet.length) {
            throw new BadPacket("a packet ends within a field");
        }
        return packet[at++] & 0xFF;
    }

    int two() throws BadPacket {
        return one() << 8 | one();
    }

    boolean flag() throws BadPacket {
        return one() != 0;
    }

    /** Null where the sender has none. */
    String text() throws BadPacket {
        int length = two();
        return length == ABSENT ? null : text(length);
    }

    /** Of this length, which was read already. */
    String text(int length) throws BadPacket {
        byte[] bytes = bytes(length);
        if (one() != 0) {
            throw new BadPacket("a text without its end");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    byte[] bytes(int length) throws BadPacket {
        if (length > packet.length - at) {
            throw new BadPacket(
                    "a field of "
                            + length
                            + " bytes in a packet with "
                            + (packet.length - at)
                            + " left");
        }
        byte[] bytes = new byte[length];
        System.arraycopy(packet, at, bytes, 0, length);
        at += length;
        return bytes;
    }
}

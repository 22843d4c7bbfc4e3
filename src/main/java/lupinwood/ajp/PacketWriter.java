package lupinwood.ajp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Writes one packet. */
final class PacketWriter {
    private static final int ABSENT = 0xFFFF;

    private final int magic;
    private final ByteArrayOutputStream payload = new ByteArrayOutputStream(128);

    PacketWriter(int magic) {
        this.magic = magic;
    }

    PacketWriter one(int value) {
        payload.write(value);
        return this;
    }

    PacketWriter two(int value) {
        return one(value >> 8 & 0xFF).one(value & 0xFF);
    }

    /**
     * @param text null for one that is absent
     */
    PacketWriter text(String text) {
        if (text == null) {
            return two(ABSENT);
        }
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        two(bytes.length);
        payload.write(bytes, 0, bytes.length);
        return one(0);
    }

    PacketWriter bytes(byte[] bytes, int from, int length) {
        payload.write(bytes, from, length);
        return this;
    }

    int size() {
        return payload.size();
    }

    byte[] packet() {
        byte[] inside = payload.toByteArray();
        byte[] packet = new byte[inside.length + 4];
        packet[0] = (byte) (magic >> 8);
        packet[1] = (byte) magic;
        packet[2] = (byte) (inside.length >> 8);
        packet[3] = (byte) inside.length;
        System.arraycopy(inside, 0, packet, 4, inside.length);
        return packet;
    }
}

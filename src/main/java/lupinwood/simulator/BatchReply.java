package lupinwood.simulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds the reply to one batch, record by record. */
final class BatchReply {
    private static final int HEADER = 8;
    private static final int RECORD_HEADER = 5;

    private ByteBuffer bytes = ByteBuffer.allocate(1 << 16);
    private int records;

    void clear() {
        bytes.clear().position(HEADER);
        records = 0;
    }

    /** Opens a record whose fields take so many bytes after the instance's number. */
    ByteBuffer record(int code, int instance, int size) {
        reserve(RECORD_HEADER + 2 + size);
        records++;
        return bytes.put((byte) code).putInt(2 + size).putShort((short) instance);
    }

    void record(int code, int instance, String text) {
        byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(encoded.length, 0xffff);
        record(code, instance, 2 + length).putShort((short) length).put(encoded, 0, length);
    }

    /** Takes back what came after this place, as if it had never been written. */
    void rewind(int position, int count) {
        bytes.position(position);
        records = count;
    }

    int position() {
        return bytes.position();
    }

    int records() {
        return records;
    }

    ByteBuffer finish() {
        bytes.putInt(0, bytes.position() - 4).putInt(4, records);
        return bytes.flip();
    }

    private void reserve(int size) {
        if (bytes.remaining() < size) {
            ByteBuffer larger =
                    ByteBuffer.allocate(Math.max(bytes.capacity() * 2, bytes.position() + size));
            bytes = larger.put(bytes.flip());
        }
    }
}

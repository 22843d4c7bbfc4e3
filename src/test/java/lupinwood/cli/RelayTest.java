package lupinwood.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class RelayTest {
    @Test
    void signalsBeforeAnyoneHearsAreKeptAsOneAndLaterOnesAreHeardAtOnce() {
        Relay relay = new Relay();
        AtomicInteger heard = new AtomicInteger();
        relay.signal();
        relay.signal();
        relay.to(heard::incrementAndGet);
        assertThat(heard).hasValue(1);
        relay.signal();
        assertThat(heard).hasValue(2);
        Relay calm = new Relay();
        calm.to(heard::incrementAndGet);
        assertThat(heard).hasValue(2);
    }
}

package lupinwood.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class SignalRelayTest {
    @Test
    void signalsBeforeAnyoneHearsAreStoredAsOneAndLaterOnesAreHeardAtOnce() {
        SignalRelay relay = new SignalRelay();
        AtomicInteger heard = new AtomicInteger();
        relay.signal();
        relay.signal();
        relay.to(heard::incrementAndGet);
        assertThat(heard).hasValue(1);
        relay.signal();
        assertThat(heard).hasValue(2);
        SignalRelay baseline = new SignalRelay();
        baseline.to(heard::incrementAndGet);
        assertThat(heard).hasValue(2);
    }
}

package lupinwood.admission;

import java.util.Map;
import java.util.function.Consumer;

/**
 * A node with somebody beside it: told of each request before it, and of the end of each round
 * after it.
 */
public record RuleCheckingPolicy(AdmissionPolicy node, Consumer<Request> taken, Runnable settled)
        implements AdmissionPolicy {
    @Override
    public RequestListener admit(Request request) {
        taken.accept(request);
        return node.admit(request);
    }

    @Override
    public void decide() {
        node.decide();
        settled.run();
    }

    @Override
    public void drain(NanoDuration until) {
        node.drain(until);
    }

    @Override
    public void wake(ResourceUsage resourceUsage) {
        node.wake(resourceUsage);
    }

    @Override
    public void updateSettings(Map<String, String> settings) {
        node.updateSettings(settings);
    }
}

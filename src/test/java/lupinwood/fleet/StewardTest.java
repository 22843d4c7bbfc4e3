package lupinwood.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class StewardTest {
    private static final Rules RULES = Rules.of(Span.ofSeconds(3), 0.02);
    private static final NodeName SELF = new NodeName("v");
    private final Book book = new Book(3);
    private final Steward steward = new Steward(RULES, List.of(DutyName.TRIAL));
    private long number;

    private static Moment at(double seconds) {
        return new Moment(Math.round(seconds * 1e9));
    }

    private Beat beat(
            String name, int life, Condition condition, List<Grant> handsOn, List<Grant> failsAt) {
        return new Beat(
                Beat.VERSION,
                new NodeName(name),
                new Life(life),
                new Site("r", "z"),
                condition,
                ++number,
                List.of(),
                handsOn,
                failsAt,
                List.of(),
                List.of(),
                null);
    }

    private Reply say(Beat beat, double seconds) {
        String trouble = steward.heard(beat, book, at(seconds));
        return steward.replyTo(beat, trouble, book, SELF, at(seconds));
    }

    private Reply warm(String name, double seconds) {
        return say(beat(name, 1, Condition.WARM, List.of(), List.of()), seconds);
    }

    private List<Deed> done(double seconds) {
        List<Deed> deeds = steward.decide(book, 100, at(seconds));
        deeds.forEach(book::apply);
        return deeds;
    }

    @BeforeEach
    void twoNodesAndTheFirstHolds() {
        steward.leads(book, at(0));
        warm("a", 0.1);
        done(0.1);
        done(0.1);
        done(1.2);
        warm("a", 1.3);
        warm("b", 1.3);
        done(1.3);
        done(1.3);
        assertThat(book.duty(DutyName.TRIAL).holder()).isEqualTo(new NodeName("a"));
        assertThat(book.duty(DutyName.TRIAL).token().number()).isEqualTo(101);
    }

    @Test
    void aDutyIsGivenOnOnlyOnceItsLeaseHasRunOutForCertain() {
        assertThat(warm("a", 2).grants()).hasSize(1);
        for (double now = 2.5; now < 5; now += 0.5) {
            warm("b", now);
            assertThat(done(now)).isEmpty();
        }
        warm("b", 5.05);
        assertThat(done(5.07))
                .containsExactly(new Deed.Free(DutyName.TRIAL, new Token(101), Deed.Why.LAPSED));
        assertThat(done(5.08)).hasSize(1);
        assertThat(book.duty(DutyName.TRIAL).holder()).isEqualTo(new NodeName("b"));
        assertThat(book.duty(DutyName.TRIAL).token().number()).isEqualTo(102);
        // The first one is back, and doesn't take it back.
        assertThat(warm("a", 5.1).grants()).isEmpty();
        assertThat(done(5.2)).isEmpty();
    }

    @Test
    void whatIsBeingTakenBackIsGrantedNoMoreHoweverLongTheBookTakes() {
        warm("a", 2);
        assertThat(steward.decide(book, 100, at(6))).hasSize(1); // under way, and not written yet
        assertThat(warm("a", 6.1).grants()).isEmpty();
    }

    @Test
    void aNewLeaderCountsALeaseFromWhenItBeganToLead() {
        warm("a", 2);
        steward.leadsNoMore();
        steward.leads(book, at(4));
        assertThat(warm("b", 6.9).grants()).isEmpty();
        assertThat(done(7)).isEmpty();
        assertThat(done(7.1)).hasSize(1);
    }

    @Test
    void handedOnItGoesToAnHeirAtOnceAndFailedAtItStaysAway() {
        Grant grant = warm("a", 2).grants().get(0);
        warm("b", 2.1);
        say(beat("a", 1, Condition.WARM, List.of(), List.of(grant)), 2.2);
        assertThat(done(2.2))
                .containsExactly(new Deed.Free(DutyName.TRIAL, grant.token(), Deed.Why.FAILED));
        done(2.2);
        assertThat(book.duty(DutyName.TRIAL).holder()).isEqualTo(new NodeName("b"));
        Grant next = warm("b", 2.3).grants().get(0);
        say(beat("b", 1, Condition.LEAVING, List.of(next), List.of()), 2.4);
        assertThat(done(2.4))
                .containsExactly(new Deed.Free(DutyName.TRIAL, next.token(), Deed.Why.HANDED_ON));
        warm("a", 2.5);
        assertThat(done(2.5)).as("a is shunned, b leaves").isEmpty();
        warm("a", 8.5);
        assertThat(done(8.5)).as("for a time only").hasSize(1);
    }

    @Test
    void aSecondProcessUnderOneNameStandsOutsideUntilTheFirstIsSilent() {
        assertThat(say(beat("a", 2, Condition.WARM, List.of(), List.of()), 1.5).trouble())
                .contains("in use");
        assertThat(warm("a", 1.6).grants()).hasSize(1);
        assertThat(say(beat("a", 2, Condition.WARM, List.of(), List.of()), 6).trouble()).isEmpty();
    }

    @Test
    void silenceMakesANodeUnknownItsOwnWordOutAndAFullBookOrAnotherFormTellsSo() {
        warm("b", 5);
        assertThat(steward.picture(book, at(5)))
                .extracting(Seen::standing)
                .containsExactly(Standing.UNKNOWN, Standing.WARM);
        say(beat("b", 1, Condition.GONE, List.of(), List.of()), 5.1);
        done(5.1);
        assertThat(steward.picture(book, at(5.2)).get(1).standing()).isEqualTo(Standing.OUT);
        for (String name : List.of("c", "d")) {
            warm(name, 5.3); // b went, and made room for one
            done(5.3);
        }
        assertThat(warm("e", 5.4).trouble()).contains("no more than 3");
        Beat newer =
                new Beat(
                        9,
                        new NodeName("f"),
                        new Life(1),
                        new Site("r", "z"),
                        Condition.WARM,
                        1,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        null);
        assertThat(steward.heard(newer, book, at(5.5))).contains("form 9");
    }

    @Test
    void aHolderCountsFromBeforeItAskedAndStopsBeforeTheCouncilMayGiveOn() {
        Holding holding = new Holding(RULES);
        holding.asks(1, at(10));
        Reply reply =
                new Reply(
                        1,
                        true,
                        SELF,
                        "",
                        RULES.lease(),
                        List.of(new Grant(DutyName.TRIAL, new Token(7))),
                        List.of(),
                        0,
                        null,
                        null,
                        1);
        holding.told(reply, at(11.5));
        assertThat(holding.mayAct(DutyName.TRIAL, at(12.93))).isEqualTo(new Token(7));
        assertThat(holding.mayAct(DutyName.TRIAL, at(12.95)))
                .as("3 s less the drift, from 10 s on")
                .isNull();
        holding.asks(2, at(13));
        assertThat(holding.giveUp(DutyName.TRIAL).token().number()).isEqualTo(7);
        holding.told(
                new Reply(
                        2,
                        true,
                        SELF,
                        "",
                        RULES.lease(),
                        reply.grants(),
                        List.of(),
                        0,
                        null,
                        null,
                        1),
                at(13.1));
        assertThat(holding.mayAct(DutyName.TRIAL, at(13.2)))
                .as("given up for good under this token")
                .isNull();
    }
}

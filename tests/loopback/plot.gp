# Plots the distribution of failover times of two runs of tests/loopback/run as docs/standby.svg:
#   gnuplot -e "before='A.csv'; after='B.csv'" tests/loopback/plot.gp
# A.csv and B.csv are the runs' ends.csv, without and with standby. gnuplot is Debian's gnuplot-nox.
set datafile separator ","
stats before skip 1 using 3 name "B" nooutput
stats after skip 1 using 3 name "A" nooutput
set terminal svg size 720,420 font "sans-serif,13"
set output "docs/standby.svg"
set title "From a leader's end to the first start under the next token (loopback)"
set xlabel "seconds"
set ylabel "share of ends"
set xrange [0:*]
set yrange [0:1.02]
set key center center
set grid
set arrow from 5,0 to 5,1.02 nohead dashtype 2
plot before skip 1 using 3:(1.0 / B_records) smooth cumulative with steps lw 2 title "without standby", \
     after skip 1 using 3:(1.0 / A_records) smooth cumulative with steps lw 2 title "with standby"
